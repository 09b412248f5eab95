/** Environment variable that makes Node.js use io_uring. */
const IO_URING_VARIABLE = 'UV_USE_IO_URING';

/** Returns an error for each environment variable that figfall can't run with. */
export function checkRuntime(
  env: Readonly<Record<string, string | undefined>>,
): readonly string[] {
  if (env[IO_URING_VARIABLE] !== '1') return [];
  return [
    `${IO_URING_VARIABLE} is set to 1, but figfall must not use io_uring; unset it`,
  ];
}

/** Environment variable under which Node.js uses io_uring. */
const IO_URING = 'UV_USE_IO_URING';

/** Finds what of the process's environment figfall must not run with. */
export function checkRuntime(
  env: Readonly<Record<string, string | undefined>>,
): readonly string[] {
  if (env[IO_URING] !== '1') return [];
  return [
    `${IO_URING} is set to 1, but figfall must not use io_uring: unset it`,
  ];
}

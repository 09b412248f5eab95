const FILLER_LINE =
  'station 17 gas quality entry: CO2 1.2 %, O2 0.1 %, calorific 10.9;';
const CHARS_PER_TOKEN = 4;

/** Returns a prompt of a number of tokens that starts with a given text. */
export function makePrompt(tokens: number, start = ''): string {
  const chars = tokens * CHARS_PER_TOKEN;
  const repeats = Math.max(
    0,
    Math.ceil((chars - start.length) / FILLER_LINE.length),
  );
  return (start + FILLER_LINE.repeat(repeats)).slice(0, Math.max(1, chars));
}

import type {BenchResult} from './bench_result.js';
import type {BenchRow} from './bench_row.js';

const BAR_HEIGHT = 18;
const GROUP_GAP = 14;
const LABEL_WIDTH = 220;
const BAR_WIDTH = 420;
const VALUE_WIDTH = 90;
const TITLE_HEIGHT = 40;

const COLOURS = ['#2b6cb0', '#dd6b20', '#38a169', '#805ad5', '#718096'];

function escapeXml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

function groupByMetric(
  rows: readonly BenchRow[],
): ReadonlyMap<string, BenchRow[]> {
  const groups = new Map<string, BenchRow[]>();
  rows.forEach(row =>
    groups.set(row.metric, [...(groups.get(row.metric) ?? []), row]),
  );
  return groups;
}

/** Renders the rows of one metric, with a bar for each policy. */
function renderGroup(
  metric: string,
  rows: readonly BenchRow[],
  top: number,
): string {
  const maxValue = Math.max(...rows.map(({value}) => value), Number.MIN_VALUE);
  const title = `<text x="0" y="${top + 13}">${escapeXml(metric)}</text>`;
  const bars = rows.map(({policy, value, unit}, i) => {
    const y = top + i * BAR_HEIGHT;
    const width = (BAR_WIDTH * Math.max(0, value)) / maxValue;
    const colour = COLOURS[i % COLOURS.length];
    const label = escapeXml(`${policy}: ${value.toFixed(3)} ${unit}`);
    return `<rect x="${LABEL_WIDTH}" y="${y}" width="${width.toFixed(1)}" height="${BAR_HEIGHT - 3}" fill="${colour}"/><text x="${LABEL_WIDTH + 4}" y="${y + 12}" fill="#fff" stroke="#000" stroke-width="0.2">${label}</text>`;
  });
  return [title, ...bars].join('\n');
}

/** Renders a result as a bar chart, with a group of bars for each metric. */
export function renderSvg(result: BenchResult): string {
  let top = TITLE_HEIGHT;
  const groups = [...groupByMetric(result.rows)].map(([metric, rows]) => {
    const svg = renderGroup(metric, rows, top);
    top += rows.length * BAR_HEIGHT + GROUP_GAP;
    return svg;
  });
  const width = LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH;
  const title = escapeXml(`${result.scenario}, seed ${result.seed}`);
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${top}" font-family="sans-serif" font-size="12">`,
    `<text x="0" y="20" font-size="16">${title}</text>`,
    ...groups,
    '</svg>\n',
  ].join('\n');
}

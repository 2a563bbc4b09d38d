import type {EventKind, TimelineEvent} from '../internal.js';

const ROW_HEIGHT_PX = 22;
const LABEL_WIDTH_PX = 160;
const CHART_WIDTH_PX = 1_000;
const TOP_PX = 30;
const LEGEND_COLUMN_PX = 150;
const LEGEND_COLUMNS = 7;

/** Colours by kind; a kind without a colour is drawn in grey. */
const COLOURS: Partial<Record<EventKind, string>> = {
  versionInForce: '#1a7f37',
  checkpointApplied: '#66bb6a',
  entryRefused: '#b35900',
  configConflict: '#cf222e',
  refused: '#cf222e',
  upstreamCrashed: '#82071e',
  upstreamDown: '#cf222e',
  upstreamUp: '#0969da',
  upstreamStalled: '#bf3989',
  memberChanged: '#8250df',
  viewStale: '#9a6700',
  sourceFailed: '#9a6700',
  stopping: '#24292f',
  started: '#0969da',
};
const OTHER_COLOUR = '#8c959f';

/** Renders events as SVG: one row per daemon, time from left to right. */
export function drawTimeline(events: readonly TimelineEvent[]): string {
  const ids = [...new Set(events.map(event => event.id))].sort();
  const kinds = [...new Set(events.map(event => event.kind))];
  const first = Math.min(...events.map(event => event.hlc[0]));
  const last = Math.max(...events.map(event => event.hlc[0]), first + 1);
  const toX = (ms: number) =>
    LABEL_WIDTH_PX + ((ms - first) / (last - first)) * CHART_WIDTH_PX;
  const legendTop = TOP_PX + ids.length * ROW_HEIGHT_PX + ROW_HEIGHT_PX;
  const legendRows = Math.ceil(kinds.length / LEGEND_COLUMNS);
  const height = legendTop + legendRows * ROW_HEIGHT_PX;
  const width = LABEL_WIDTH_PX + CHART_WIDTH_PX + 40;
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" ` +
      `height="${height}" font-family="sans-serif" font-size="11">`,
    `<text x="${LABEL_WIDTH_PX}" y="18">0 to ${last - first} ms</text>`,
    ...ids.map((id, row) => drawRow(id, row, width)),
    ...events.map(event => drawEvent(event, ids.indexOf(event.id), toX)),
    ...kinds.map((kind, i) => drawLegend(kind, i, legendTop)),
    '</svg>',
  ];
  return parts.join('\n');
}

function drawRow(id: string, row: number, width: number): string {
  const y = rowY(row);
  return (
    `<text x="4" y="${y + 4}">${escapeXml(id)}</text>` +
    `<line x1="${LABEL_WIDTH_PX}" x2="${width - 40}" y1="${y}" y2="${y}" ` +
    'stroke="#d0d7de"/>'
  );
}

function drawEvent(
  event: TimelineEvent,
  row: number,
  toX: (ms: number) => number,
): string {
  const detail = Object.entries(event.detail)
    .map(([key, value]) => `${key}=${value}`)
    .join(' ');
  const title = escapeXml(`${event.kind} ${detail}`);
  const x = toX(event.hlc[0]).toFixed(1);
  const fill = COLOURS[event.kind] ?? OTHER_COLOUR;
  const dot = `<circle cx="${x}" cy="${rowY(row)}" r="4" fill="${fill}">`;
  return `${dot}<title>${title}</title></circle>`;
}

function drawLegend(kind: EventKind, index: number, top: number): string {
  const x = 10 + (index % LEGEND_COLUMNS) * LEGEND_COLUMN_PX;
  const y = top + Math.floor(index / LEGEND_COLUMNS) * ROW_HEIGHT_PX;
  const fill = COLOURS[kind] ?? OTHER_COLOUR;
  return (
    `<circle cx="${x}" cy="${y}" r="4" fill="${fill}"/>` +
    `<text x="${x + 8}" y="${y + 4}">${kind}</text>`
  );
}

function rowY(row: number): number {
  return TOP_PX + row * ROW_HEIGHT_PX + ROW_HEIGHT_PX / 2;
}

function escapeXml(text: string): string {
  return text
    .replace(/&/g, '&amp;')
    .replace(/</g, '&lt;')
    .replace(/>/g, '&gt;')
    .replace(/"/g, '&quot;');
}

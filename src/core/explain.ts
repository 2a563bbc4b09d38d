import {KEY_FAULT_TEXTS} from './organisations/keys.js';

/** One line of a daemon's decision log. */
export interface DecisionLine {
  /** Daemon that wrote the line. */
  readonly id: string;
  readonly decision: string;
  /** All other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Fields of every line that do not describe the decision. */
const COMMON_FIELDS = new Set([
  'name',
  'id',
  'hostname',
  'pid',
  'level',
  'decision',
  'msg',
  'v',
]);

/** Decisions that change the state of a daemon; shown as context. */
const CONTEXT_DECISIONS = new Set([
  'answersAmple',
  'answersShort',
  'configInForce',
  'copyCurrent',
  'copyOld',
  'copyOverdue',
  'crashed',
  'ejected',
  'linesDropped',
  'memoryHigh',
  'memoryNormal',
  'peerHeard',
  'peerSilent',
  'portOpened',
  'portUnavailable',
  'readerSlow',
  'reloaded',
  'reloadFailed',
  'settingsChanged',
  'settingsInvalid',
  'sourceChosen',
  'sourceLost',
  'sourceRecovered',
  'sourceSlow',
  'started',
  'stopped',
  'stopping',
  'storeEra',
  'takeOutChanged',
  'upstreamDown',
  'upstreamGone',
  'upstreamListed',
  'upstreamUp',
]);

/** Context lines shown before the lines of the request, per daemon. */
const MAX_CONTEXT = 4;

/**
 * Reads the lines of a log; text before the first brace, such as the prefix of
 * a log collector, and lines of other kinds are skipped.
 */
export function parseDecisions(text: string): DecisionLine[] {
  return text.split('\n').flatMap(line => parseLine(line) ?? []);
}

function parseLine(line: string): DecisionLine | undefined {
  const start = line.indexOf('{');
  if (start < 0) return undefined;
  let value: Record<string, unknown>;
  try {
    value = JSON.parse(line.slice(start)) as Record<string, unknown>;
  } catch {
    return undefined;
  }
  const {id, decision} = value;
  if (typeof id !== 'string' || typeof decision !== 'string') return undefined;
  const ownFields = Object.entries(value).filter(
    ([key]) => !COMMON_FIELDS.has(key),
  );
  return {id, decision, fields: Object.fromEntries(ownFields)};
}

/** Log lines of one request, with context. */
export interface RequestTrace {
  /** Lines of the request from all daemons, causes first. */
  readonly lines: DecisionLine[];
  /** Last state changes before the request, by daemon. */
  readonly context: ReadonlyMap<string, DecisionLine[]>;
}

/**
 * Collects the lines of a request; undefined when no line has its id. Lines of
 * one daemon keep their order. A line of an upstream's daemon comes before the
 * line in which the entry reacts to that upstream, regardless of their clocks.
 */
export function explainRequest(
  lines: readonly DecisionLine[],
  requestId: string,
): RequestTrace | undefined {
  const requestLines = lines.filter(line => line.fields.request === requestId);
  if (requestLines.length === 0) return undefined;
  const isEntryLine = ({decision}: DecisionLine) =>
    decision === 'request' || decision === 'resend';
  const entryLines = requestLines.filter(isEntryLine);
  const rest = requestLines.filter(line => !isEntryLine(line));
  const ordered: DecisionLine[] = [];
  for (const line of entryLines) {
    const isFinal = line.decision === 'request';
    const causes = rest.filter(
      other => isFinal || other.fields.upstream === line.fields.upstream,
    );
    for (const cause of causes) rest.splice(rest.indexOf(cause), 1);
    ordered.push(...causes, line);
  }
  ordered.push(...rest);
  return {lines: ordered, context: findContext(lines, requestId)};
}

function findContext(
  lines: readonly DecisionLine[],
  requestId: string,
): Map<string, DecisionLine[]> {
  const context = new Map<string, DecisionLine[]>();
  const recent = new Map<string, DecisionLine[]>();
  for (const line of lines) {
    if (line.fields.request === requestId) {
      const before = recent.get(line.id) ?? [];
      if (!context.has(line.id)) context.set(line.id, [...before]);
    }
    if (!CONTEXT_DECISIONS.has(line.decision)) continue;
    const kept = [...(recent.get(line.id) ?? []), line].slice(-MAX_CONTEXT);
    recent.set(line.id, kept);
  }
  return context;
}

/**
 * Lists the state changes of all daemons by timestamp; their clocks may differ.
 */
export function listChanges(lines: readonly DecisionLine[]): DecisionLine[] {
  const readTime = ({fields}: DecisionLine) => String(fields.time ?? '');
  return lines
    .filter(({decision}) => CONTEXT_DECISIONS.has(decision))
    .sort((a, b) => readTime(a).localeCompare(readTime(b)));
}

/** Formats decisions as text, one line each. */
export function formatDecisions(lines: readonly DecisionLine[]): string {
  return lines.map(formatLine).join('\n');
}

/** Formats a request trace as text, one line per decision. */
export function formatRequestTrace(trace: RequestTrace): string {
  const context = [...trace.context].flatMap(([id, lines]) =>
    lines.length > 0 ? [`before, at ${id}:`, ...lines.map(formatLine)] : [],
  );
  const lines = trace.lines.flatMap(line => [
    formatLine(line),
    ...explainKeyFault(line),
    ...explainQuota(line),
  ]);
  return [...context, 'the request:', ...lines].join('\n');
}

/** Says why a request got no organisation; empty for other lines. */
function explainKeyFault({fields}: DecisionLine): string[] {
  const text = KEY_FAULT_TEXTS.get(String(fields.keyFault));
  if (text === undefined) return [];
  const retry =
    fields.outcome === 'stale-view'
      ? '; 503, as a newer version than that of the old copy may hold the key'
      : '';
  return [`    why: ${text}${retry}`];
}

/** Says why a request was over its quota; empty for other lines. */
function explainQuota({fields}: DecisionLine): string[] {
  if (fields.outcome !== 'over-quota') return [];
  const {organisation, quotaPerS, quotaBurst, allowance, granter} = fields;
  return [
    `    why: ${organisation} may send ${quotaPerS} requests/s and a burst of ` +
      `${quotaBurst} at all daemons together`,
    `    this one had ${allowance} tokens, ${fields.allowanceAgeMs} ms after ` +
      `the last answer of ${granter}; the next is due in ` +
      `${fields.retryAfterMs} ms`,
  ];
}

function formatLine({id, decision, fields}: DecisionLine): string {
  const {time} = fields;
  const detail = Object.entries(fields)
    .filter(([key]) => key !== 'time' && key !== 'request')
    .map(([key, value]) => `${key}=${String(value)}`);
  return `  ${String(time ?? '-')} ${id} ${decision} ${detail.join(' ')}`;
}

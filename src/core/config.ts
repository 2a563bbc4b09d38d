import fastJsonPatch from 'fast-json-patch';
import {
  documentSchema,
  patchSchema,
  snapshotSchema,
  type Document,
  type Entry,
  type Refusal,
  type Version,
} from '../types/document.js';
import {computeDigest} from '../utils/digest.js';

/** Entries kept to serve peers that are behind. */
export const LOG_ENTRIES = 256;

/** Refused entries kept for operators. */
export const REFUSALS_KEPT = 32;

/** Configuration state of one daemon: the fold over the series of entries. */
export interface ConfigState {
  /** Newest accepted version. */
  current?: Version;
  /** Version that requests are served under; never moves back. */
  inForce?: Version;
  /** Index of the newest entry folded. */
  index: number;
  /** Newest entries, oldest first. */
  log: Entry[];
  refusals: Refusal[];
  /** False until a peer has confirmed the version in force. */
  confirmed: boolean;
}

/** Creates the state of a daemon that knows no configuration. */
export function createConfigState(): ConfigState {
  return {index: 0, log: [], refusals: [], confirmed: false};
}

/** Result of a check: the value, or one line per fault. */
export type Checked<T> = {ok: true; value: T} | {ok: false; faults: string[]};

/** Checks a document: schema first, then the whole reference graph. */
export function checkDocument(value: unknown): Checked<Document> {
  const parsed = documentSchema.safeParse(value);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(
      issue => `${issue.path.join('.') || '(document)'}: ${issue.message}`,
    );
    return {ok: false, faults};
  }
  const faults = findDanglingReferences(parsed.data);
  if (faults.length > 0) return {ok: false, faults};
  return {ok: true, value: parsed.data};
}

function findDanglingReferences(document: Document): string[] {
  const faults: string[] = [];
  for (const [name, route] of Object.entries(document.routes)) {
    if (!Object.hasOwn(document.services, route.service)) {
      faults.push(`routes.${name}.service: no service ${route.service}`);
    }
  }
  for (const [name, service] of Object.entries(document.services)) {
    for (const dataCentre of service.dataCentres) {
      if (!Object.hasOwn(document.dataCentres, dataCentre)) {
        faults.push(`services.${name}.dataCentres: no ${dataCentre}`);
      }
    }
  }
  return faults;
}

/** Outcome of folding entries. */
export interface FoldResult {
  accepted: Version[];
  refused: Refusal[];
  /** Entries at or below our index. */
  stale: number;
  /** True when an entry does not continue ours; the rest was not folded. */
  gap: boolean;
}

/** Folds entries in index order; acceptance depends only on the series. */
export function applyEntries(
  state: ConfigState,
  entries: readonly Entry[],
): FoldResult {
  const result: FoldResult = {accepted: [], refused: [], stale: 0, gap: false};
  for (const entry of entries) {
    if (entry.index <= state.index) {
      result.stale++;
      continue;
    }
    if (entry.prev !== state.index) {
      result.gap = true;
      break;
    }
    foldEntry(state, entry, result);
  }
  return result;
}

function foldEntry(state: ConfigState, entry: Entry, result: FoldResult): void {
  const judged = judgeEntry(state.current, entry);
  state.index = entry.index;
  state.log.push(entry);
  if (state.log.length > LOG_ENTRIES) state.log.shift();
  if (judged.ok) {
    if (judged.value === state.current) return;
    state.current = judged.value;
    result.accepted.push(judged.value);
    return;
  }
  const refusal = describeRefusal(entry, judged.faults);
  state.refusals.push(refusal);
  if (state.refusals.length > REFUSALS_KEPT) state.refusals.shift();
  result.refused.push(refusal);
}

function describeRefusal(entry: Entry, faults: string[]): Refusal {
  const value = (entry.value ?? {}) as {author?: unknown; base?: unknown};
  return {
    index: entry.index,
    author: typeof value.author === 'string' ? value.author : '',
    base: Number.isInteger(value.base) ? (value.base as number) : 0,
    reason: faults.join('; ').slice(0, 500),
  };
}

function judgeEntry(
  current: Version | undefined,
  entry: Entry,
): Checked<Version> {
  if (entry.kind === 'snapshot') return judgeSnapshot(current, entry);
  if (entry.kind === 'patch') return judgePatch(current, entry);
  return {ok: false, faults: [`unknown kind ${entry.kind}`]};
}

function judgeSnapshot(
  current: Version | undefined,
  entry: Entry,
): Checked<Version> {
  const parsed = snapshotSchema.safeParse(entry.value);
  if (!parsed.success) {
    return {ok: false, faults: parsed.error.issues.map(i => i.message)};
  }
  const {version, digest} = parsed.data;
  if (current && version === current.version && digest === current.digest) {
    return {ok: true, value: current};
  }
  if (current && version <= current.version) {
    return {ok: false, faults: [`version ${version} is not above ours`]};
  }
  const checked = checkDocument(parsed.data.document);
  if (!checked.ok) return checked;
  if (computeDigest(checked.value) !== digest) {
    return {ok: false, faults: ['digest does not match the document']};
  }
  const {index} = entry;
  return {ok: true, value: {version, digest, index, document: checked.value}};
}

function judgePatch(
  current: Version | undefined,
  entry: Entry,
): Checked<Version> {
  const parsed = patchSchema.safeParse(entry.value);
  if (!parsed.success) {
    return {ok: false, faults: parsed.error.issues.map(i => i.message)};
  }
  const {base, baseDigest, ops} = parsed.data;
  if (!current || base !== current.version) {
    const ours = current?.version ?? 0;
    return {ok: false, faults: [`base ${base} is not version ${ours}`]};
  }
  if (baseDigest !== current.digest) {
    return {ok: false, faults: ['base digest differs']};
  }
  try {
    const patched = fastJsonPatch.applyPatch(
      current.document,
      ops as unknown as fastJsonPatch.Operation[],
      true,
      false,
    ).newDocument;
    const checked = checkDocument(patched);
    if (!checked.ok) return checked;
    const document = checked.value;
    const digest = computeDigest(document);
    const version = base + 1;
    return {ok: true, value: {version, digest, index: entry.index, document}};
  } catch (err) {
    const name = err instanceof Error ? err.name : 'error';
    return {ok: false, faults: [`operations do not apply: ${name}`]};
  }
}

import {readFileSync} from 'node:fs';
import {isNode, LineCounter, parseDocument, type Document} from 'yaml';
import {
  BerylbendError,
  settingsSchema,
  type Checked,
  type Settings,
} from '../internal.js';

/** Reads and validates a settings file; throws `badFile` or `badSettings`. */
export function loadSettings(file: string): Settings {
  const result = parseSettings(readText(file), file);
  if (!result.ok) throw new BerylbendError('badSettings', result.faults);
  return result.value;
}

/** Reads a text file; throws `badFile`. */
export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    throw new BerylbendError('badFile', [file], err as Error);
  }
}

/** Validates the text of a settings file; faults name file, line and path. */
export function parseSettings(text: string, file: string): Checked<Settings> {
  const lines = new LineCounter();
  const yaml = parseDocument(text, {lineCounter: lines});
  if (yaml.errors.length > 0) {
    const faults = yaml.errors.map(err => {
      const {line} = lines.linePos(err.pos[0]);
      return `${file}:${line}: ${err.message.split('\n')[0]}`;
    });
    return {ok: false, faults};
  }
  const parsed = settingsSchema.safeParse(yaml.toJS());
  if (!parsed.success) {
    const faults = parsed.error.issues.map(issue => {
      const unknownKeys =
        issue.code === 'unrecognized_keys' ? issue.keys.slice(0, 1) : [];
      const path = [...issue.path, ...unknownKeys];
      const line = findLine(yaml, lines, path);
      const pathText = path.join('.') || '(file)';
      return `${file}:${line}: ${pathText}: ${issue.message}`;
    });
    return {ok: false, faults};
  }
  const faults = findConflicts(parsed.data).map(({path, text: reason}) => {
    return `${file}:${findLine(yaml, lines, path)}: ${path.join('.')}: ${reason}`;
  });
  return faults.length > 0
    ? {ok: false, faults}
    : {ok: true, value: parsed.data};
}

/** Finds the line of the deepest part of a path that exists in the file. */
function findLine(
  yaml: Document,
  lines: LineCounter,
  path: readonly PropertyKey[],
): number {
  for (let depth = path.length; depth > 0; depth--) {
    const node = yaml.getIn(path.slice(0, depth), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}

interface Conflict {
  path: string[];
  text: string;
}

/** Finds combinations that pass the schema but cannot work. */
function findConflicts(settings: Settings): Conflict[] {
  const {listen, advertiseHost, upstream} = settings;
  const conflicts: Conflict[] = [];
  const ports = [listen.customerPort, listen.peerPort, listen.adminPort];
  if (new Set(ports).size < ports.length) {
    conflicts.push({path: ['listen'], text: 'the three ports must differ'});
  }
  if (isWildcard(listen.host) && advertiseHost === undefined) {
    const text = `required when listening on ${listen.host}`;
    conflicts.push({path: ['advertiseHost'], text});
  }
  if (advertiseHost !== undefined && isWildcard(advertiseHost)) {
    const text = 'must be an address that other daemons can reach';
    conflicts.push({path: ['advertiseHost'], text});
  }
  const url = new URL(upstream.url);
  const ownPort = ports.includes(Number(url.port));
  if (ownPort && url.hostname === (advertiseHost ?? listen.host)) {
    const text = 'is one of the ports of this daemon';
    conflicts.push({path: ['upstream', 'url'], text});
  }
  return conflicts;
}

function isWildcard(host: string): boolean {
  return host === '0.0.0.0' || host === '::';
}

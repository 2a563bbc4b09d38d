import {writeFileSync} from 'node:fs';
import {Command, Flags} from '@oclif/core';
import {request} from 'undici';
import {parse as parseYaml} from 'yaml';
import * as z from 'zod';
import {readText} from '../daemon/settings.js';
import {
  BerylbendError,
  checkDocument,
  computeDigest,
  digestSchema,
  ERRORS,
  type Document,
  type Version,
} from '../internal.js';

/** Exit codes of the command line. */
export const EXIT = {good: 0, invalid: 1, usage: 2, unreachable: 3} as const;

/** Time to wait for an admin port, ms. */
const ADMIN_TIMEOUT_MS = 5_000;

/** Flag that names the admin port of one daemon. */
export const fromFlag = Flags.string({
  description: 'admin URL of a daemon, such as http://127.0.0.1:7003',
});

/** Flag that names the file with the base version. */
export const baseFlag = Flags.string({
  description: 'file with the base version, as written by `config show`',
});

/** Flag that names the author of a publication. */
export const authorFlag = Flags.string({
  description: 'who publishes',
  default: process.env['USER'] ?? 'operator',
});

/** Flag with the reason for a publication. */
export const noteFlag = Flags.string({description: 'why', default: ''});

/** Flag that names the output file. */
export const outFlag = Flags.string({
  description: 'write to this file instead of standard output',
});

const versionSchema = z.object({
  version: z.int().min(1),
  digest: digestSchema,
  document: z.unknown(),
});

/** Base class of all commands. */
export abstract class BaseCommand extends Command {
  /** Prints an error of the error table and exits with its code. */
  protected override async catch(err: Error): Promise<unknown> {
    if (!(err instanceof BerylbendError)) return super.catch(err);
    const {details, code} = err;
    this.logToStderr(`error: ${ERRORS[code].text}`);
    for (const detail of details) this.logToStderr(`  ${detail}`);
    return this.exit(ERRORS[code].exit);
  }

  /** Writes the result to a file or to standard output. */
  protected write(text: string, out: string | undefined): void {
    if (out === undefined) {
      this.log(text);
      return;
    }
    writeFileSync(out, `${text}\n`);
  }
}

/** Reads a YAML or JSON file; throws `badFile`. */
export function readData(file: string): unknown {
  const text = readText(file);
  try {
    return parseYaml(text);
  } catch (err) {
    throw new BerylbendError('badFile', [file], err as Error);
  }
}

/** Reads and checks a document file; throws `badDocument`. */
export function readDocument(file: string): Document {
  const checked = checkDocument(readData(file));
  if (!checked.ok) throw new BerylbendError('badDocument', checked.faults);
  return checked.value;
}

/** Reads the base version from a file or from a daemon. */
export async function readBase(flags: {
  base?: string;
  from?: string;
}): Promise<Version> {
  if (flags.base !== undefined) return checkVersion(readData(flags.base));
  if (flags.from !== undefined) {
    return checkVersion(await fetchJson(flags.from, '/document'));
  }
  throw new BerylbendError('badFile', ['give --base FILE or --from URL']);
}

function checkVersion(value: unknown): Version {
  const parsed = versionSchema.safeParse(value);
  if (!parsed.success) {
    const faults = parsed.error.issues.map(
      issue => `${issue.path.join('.')}: ${issue.message}`,
    );
    throw new BerylbendError('badDocument', faults);
  }
  const checked = checkDocument(parsed.data.document);
  if (!checked.ok) throw new BerylbendError('badDocument', checked.faults);
  const {version, digest} = parsed.data;
  if (computeDigest(checked.value) !== digest) {
    throw new BerylbendError('badDocument', ['digest does not match']);
  }
  return {version, digest, index: 0, document: checked.value};
}

/** Reads JSON from an admin port; throws `unreachable`. */
export async function fetchJson(from: string, path: string): Promise<unknown> {
  try {
    const signal = AbortSignal.timeout(ADMIN_TIMEOUT_MS);
    const res = await request(new URL(path, from), {signal});
    if (res.statusCode !== 200) {
      await res.body.dump();
      throw new Error(`status ${res.statusCode}`);
    }
    return await res.body.json();
  } catch (err) {
    throw new BerylbendError('unreachable', [from], err as Error);
  }
}

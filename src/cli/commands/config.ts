import {Args, Flags} from '@oclif/core';
import {stringify} from 'yaml';
import {parseSettings, readText} from '../../daemon/settings.js';
import {BerylbendError, checkDocument, computeDigest} from '../../internal.js';
import {
  authorFlag,
  BaseCommand,
  baseFlag,
  fromFlag,
  noteFlag,
  outFlag,
  readBase,
  readData,
  readDocument,
} from '../base.js';

/** Checks a settings file or a configuration document. */
export class ConfigCheckCommand extends BaseCommand {
  static override description =
    'Check a settings file or a configuration document. ' +
    'Prints each fault with its path. Exit codes: 0 valid, 1 invalid, ' +
    '2 not readable.';
  static override examples = [
    '<%= config.bin %> config check daemon.yaml',
    '<%= config.bin %> config check document.yaml',
  ];
  static override args = {file: Args.string({required: true})};

  override async run(): Promise<void> {
    const {args} = await this.parse(ConfigCheckCommand);
    const data = readData(args.file);
    const isDocument =
      typeof data === 'object' && data !== null && 'routes' in data;
    const kind = isDocument ? 'document' : 'settings';
    const checked = isDocument
      ? checkDocument(data)
      : parseSettings(readText(args.file), args.file);
    if (!checked.ok) {
      const code = isDocument ? 'badDocument' : 'badSettings';
      throw new BerylbendError(code, checked.faults);
    }
    this.log(`${args.file}: valid ${kind}`);
  }
}

/** Prints the version in force at a daemon. */
export class ConfigShowCommand extends BaseCommand {
  static override description =
    'Print the version in force at a daemon: number, digest and document.';
  static override examples = [
    '<%= config.bin %> config show --from http://127.0.0.1:7003 --out base.yaml',
  ];
  static override flags = {from: fromFlag, base: baseFlag, out: outFlag};

  override async run(): Promise<void> {
    const {flags} = await this.parse(ConfigShowCommand);
    const {version, digest, document} = await readBase(flags);
    this.write(stringify({version, digest, document}).trimEnd(), flags.out);
  }
}

/** Makes the snapshot entry to publish from a document file. */
export class ConfigSnapshotCommand extends BaseCommand {
  static override description =
    'Make a snapshot entry from a document, to be published with the ' +
    "platform's own tools: for the first version, or to shorten the series.";
  static override examples = [
    '<%= config.bin %> config snapshot document.yaml --version 1',
  ];
  static override args = {file: Args.string({required: true})};
  static override flags = {
    version: Flags.integer({required: true, min: 1}),
    author: authorFlag,
    note: noteFlag,
    out: outFlag,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(ConfigSnapshotCommand);
    const document = readDocument(args.file);
    const {version, author, note} = flags;
    const digest = computeDigest(document);
    const value = {version, digest, document, author, note};
    this.write(JSON.stringify({kind: 'snapshot', value}, null, 2), flags.out);
  }
}

import {Args} from '@oclif/core';
import {
  BerylbendError,
  checkPatch,
  makePatch,
  type Document,
} from '../../internal.js';
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

const patchFlags = {
  base: baseFlag,
  from: fromFlag,
  author: authorFlag,
  note: noteFlag,
  out: outFlag,
};

/** Makes the patch entry that leads from the base to a document file. */
export class PatchMakeCommand extends BaseCommand {
  static override description =
    'Make the patch entry that leads from the base version to a document. ' +
    "Publish it with the platform's own tools. Exit codes: 0 made, " +
    '1 the document is invalid or equal, 3 the daemon cannot be reached.';
  static override examples = [
    '<%= config.bin %> patch make document.yaml --from http://127.0.0.1:7003',
    '<%= config.bin %> patch make document.yaml --base base.yaml --out p.json',
  ];
  static override args = {document: Args.string({required: true})};
  static override flags = patchFlags;

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(PatchMakeCommand);
    const base = await readBase(flags);
    const next = readDocument(args.document);
    const value = makePatch(base, next, flags.author, flags.note);
    if (value.ops.length === 0) {
      throw new BerylbendError('badPatch', ['the document equals the base']);
    }
    this.write(JSON.stringify({kind: 'patch', value}, null, 2), flags.out);
  }
}

/** Checks a patch entry against its base version. */
export class PatchCheckCommand extends BaseCommand {
  static override description =
    'Check a patch entry against a base version. Exit codes: 0 it would be ' +
    'accepted, 1 it would be refused.';
  static override examples = [
    '<%= config.bin %> patch check patch.json --base base.yaml',
  ];
  static override args = {file: Args.string({required: true})};
  static override flags = {base: baseFlag, from: fromFlag};

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(PatchCheckCommand);
    const base = await readBase(flags);
    const data = readData(args.file) as {value?: unknown} | null;
    const checked = checkPatch(base, data?.value ?? data);
    if (!checked.ok) throw new BerylbendError('badPatch', checked.faults);
    this.log(`would be accepted as version ${checked.value.version}`);
  }
}

/** Makes the patch that takes a data centre out of service. */
export class DcTakeOutCommand extends BaseCommand {
  static override description =
    'Make the patch that takes a data centre out: it gets no new work, and ' +
    'running work completes.';
  static override examples = [
    '<%= config.bin %> dc take-out howrah --from http://127.0.0.1:7003',
  ];
  static override args = {name: Args.string({required: true})};
  static override flags = patchFlags;

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(DcTakeOutCommand);
    const note = flags.note || `take out ${args.name}`;
    const entry = await makeDcPatch(args.name, 'out', {...flags, note});
    this.write(entry, flags.out);
  }
}

/** Makes the patch that brings a data centre back into service. */
export class DcBringBackCommand extends BaseCommand {
  static override description =
    'Make the patch that brings a data centre back; its load ramps up.';
  static override examples = [
    '<%= config.bin %> dc bring-back howrah --from http://127.0.0.1:7003',
  ];
  static override args = {name: Args.string({required: true})};
  static override flags = patchFlags;

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(DcBringBackCommand);
    const note = flags.note || `bring back ${args.name}`;
    const entry = await makeDcPatch(args.name, 'in', {...flags, note});
    this.write(entry, flags.out);
  }
}

async function makeDcPatch(
  name: string,
  state: 'in' | 'out',
  flags: {base?: string; from?: string; author: string; note: string},
): Promise<string> {
  const base = await readBase(flags);
  const dataCentre = Object.hasOwn(base.document.dataCentres, name)
    ? base.document.dataCentres[name]
    : undefined;
  if (!dataCentre) {
    throw new BerylbendError('badPatch', [`no data centre ${name}`]);
  }
  if (dataCentre.state === state) {
    throw new BerylbendError('badPatch', [`${name} is already ${state}`]);
  }
  const next: Document = {
    ...base.document,
    dataCentres: {...base.document.dataCentres, [name]: {...dataCentre, state}},
  };
  const value = makePatch(base, next, flags.author, flags.note);
  const checked = checkPatch(base, value);
  if (!checked.ok) throw new BerylbendError('badPatch', checked.faults);
  return JSON.stringify({kind: 'patch', value}, null, 2);
}

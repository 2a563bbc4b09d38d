import {Args, Flags} from '@oclif/core';
import {readText} from '../../daemon/settings.js';
import {
  explainRequest,
  formatDecisions,
  formatRequestTrace,
  listChanges,
  parseDecisions,
} from '../../internal.js';
import {BaseCommand, EXIT, outFlag} from '../base.js';

/** Explains a request, or all state changes, from the logs of the daemons. */
export class ExplainCommand extends BaseCommand {
  static override description =
    'Print what all daemons decided about a request, causes first; without ' +
    'an id, every change of state of the daemons as a time line. Exit codes: ' +
    '0 shown, 1 no line has the id.';
  static override examples = [
    '<%= config.bin %> explain 9c41d07be2a35f68 --log d1.log --log d2.log',
    '<%= config.bin %> explain --log d1.log --log d2.log',
  ];
  static override args = {
    request: Args.string({description: 'id of the request'}),
  };
  static override flags = {
    log: Flags.string({
      required: true,
      multiple: true,
      description: 'log file of one or several daemons; repeat for each file',
    }),
    out: outFlag,
  };

  override async run(): Promise<void> {
    const {args, flags} = await this.parse(ExplainCommand);
    const decisions = flags.log.flatMap(file => parseDecisions(readText(file)));
    if (args.request === undefined) {
      this.write(formatDecisions(listChanges(decisions)), flags.out);
      return;
    }
    const trace = explainRequest(decisions, args.request);
    if (!trace) {
      this.logToStderr(`no line has the request id ${args.request}`);
      this.exit(EXIT.invalid);
    }
    this.write(formatRequestTrace(trace), flags.out);
  }
}

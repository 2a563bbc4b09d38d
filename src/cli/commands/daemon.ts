import {Flags} from '@oclif/core';
import {startDaemon} from '../../daemon/daemon.js';
import {limitYoungGeneration} from '../../daemon/memory.js';
import {loadSettings} from '../../daemon/settings.js';
import {BaseCommand} from '../base.js';

/** Runs one daemon until SIGTERM or SIGINT. */
export class DaemonCommand extends BaseCommand {
  static override description =
    'Run the daemon beside one upstream until SIGTERM, then stop gracefully.';
  static override examples = ['<%= config.bin %> daemon --config daemon.yaml'];
  static override flags = {
    config: Flags.string({
      char: 'c',
      required: true,
      description: 'settings file (YAML)',
    }),
  };

  override async run(): Promise<void> {
    const {flags} = await this.parse(DaemonCommand);
    limitYoungGeneration();
    const daemon = await startDaemon(loadSettings(flags.config));
    await new Promise<void>(resolve => {
      // The handlers stay registered: without them a second signal would kill
      // the process while the stop waits for requests in flight.
      process.on('SIGTERM', resolve);
      process.on('SIGINT', resolve);
    });
    await daemon.stop();
  }
}

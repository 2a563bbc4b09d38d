import type {Command} from '@oclif/core';
import {
  ConfigCheckCommand,
  ConfigShowCommand,
  ConfigSnapshotCommand,
} from './commands/config.js';
import {DaemonCommand} from './commands/daemon.js';
import {ExplainCommand} from './commands/explain.js';
import {
  DcBringBackCommand,
  DcTakeOutCommand,
  PatchCheckCommand,
  PatchMakeCommand,
} from './commands/patch.js';
import {StatusCommand} from './commands/status.js';
import {TimelineCommand} from './commands/timeline.js';

/** Command table of the command line; the key is the command's id. */
export const COMMANDS: Record<string, Command.Class> = {
  'config:check': ConfigCheckCommand,
  'config:show': ConfigShowCommand,
  'config:snapshot': ConfigSnapshotCommand,
  daemon: DaemonCommand,
  explain: ExplainCommand,
  'dc:bring-back': DcBringBackCommand,
  'dc:take-out': DcTakeOutCommand,
  'patch:check': PatchCheckCommand,
  'patch:make': PatchMakeCommand,
  status: StatusCommand,
  timeline: TimelineCommand,
};

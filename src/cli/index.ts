import type {Command} from '@oclif/core';
import {DaemonCommand} from './commands/daemon.js';

/** Command table of the command line; the key is the command's id. */
export const COMMANDS: Record<string, Command.Class> = {
  daemon: DaemonCommand,
};

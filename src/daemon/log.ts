import bunyan from 'bunyan';
import type {EventKind, Settings, TimelineEvent} from '../internal.js';

/** Event kinds that are logged as warnings; all others as information. */
const WARNING_KINDS: ReadonlySet<EventKind> = new Set([
  'configConflict',
  'sourceFailed',
  'sourceStale',
  'viewStale',
  'upstreamDown',
  'upstreamStalled',
  'upstreamCrashed',
]);

/** Event kinds that are not logged: there may be one per request. */
const UNLOGGED_KINDS: ReadonlySet<EventKind> = new Set([
  'refused',
  'limitChanged',
]);

/** Creates the JSON log of a daemon: one line per change of state. */
export function createLog(settings: Settings): bunyan {
  return bunyan.createLogger({
    name: 'berylbend',
    id: settings.id,
    dataCentre: settings.dataCentre,
    level: settings.log.level,
  });
}

/** Logs one event, unless its kind is excluded from the log. */
export function logEvent(log: bunyan, event: TimelineEvent): void {
  if (UNLOGGED_KINDS.has(event.kind)) return;
  const level = WARNING_KINDS.has(event.kind) ? 'warn' : 'info';
  log[level]({event: event.kind, ...event.detail}, event.kind);
}

import * as z from 'zod';
import {hlcSchema} from './messages.js';

/** Kinds of events on the time line. */
export const EVENT_KINDS = [
  'started',
  'stopping',
  'versionInForce',
  'entryRefused',
  'configConflict',
  'checkpointApplied',
  'readerStarted',
  'readerStopped',
  'sourceFailed',
  'sourceRecovered',
  'sourceStale',
  'linkUp',
  'linkDown',
  'memberChanged',
  'viewStale',
  'viewFresh',
  'limitChanged',
  'upstreamCold',
  'upstreamDown',
  'upstreamUp',
  'upstreamStalled',
  'upstreamCrashed',
  'ejected',
  'readmitted',
  'refused',
  'suspectHeld',
] as const;

/** Schema of one event of the time line. */
export const eventSchema = z.strictObject({
  hlc: hlcSchema,
  wallMs: z.number(),
  monoMs: z.number(),
  id: z.string(),
  incarnation: z.int(),
  kind: z.enum(EVENT_KINDS),
  /** Flat details: request id, version, upstream, reason, counts. */
  detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** One event of the time line. */
export type TimelineEvent = z.infer<typeof eventSchema>;

/** Kind of an event. */
export type EventKind = TimelineEvent['kind'];

/** Details of an event. */
export type EventDetail = TimelineEvent['detail'];

import VError from 'verror';

/** Message text and exit code of each error code. */
export const ERRORS = {
  badSettings: {text: 'settings are invalid', exit: 1},
  badDocument: {text: 'configuration document is invalid', exit: 1},
  badPatch: {text: 'patch is invalid', exit: 1},
  badMessage: {text: 'peer message is invalid', exit: 1},
  badFile: {text: 'file cannot be read', exit: 2},
  sourceFailed: {text: 'configuration service request failed', exit: 3},
  listFailed: {text: 'instance list request failed', exit: 3},
  unreachable: {text: 'daemon cannot be reached', exit: 3},
} as const;

/** Key of the error table. */
export type ErrorCode = keyof typeof ERRORS;

/** Error with a code from the table; `info.details` holds one line per fault. */
export class BerylbendError extends VError {
  constructor(
    readonly code: ErrorCode,
    readonly details: readonly string[] = [],
    cause?: Error,
  ) {
    const text = [ERRORS[code].text, ...details].join('; ');
    super({name: 'BerylbendError', cause, info: {code, details}}, '%s', text);
  }
}

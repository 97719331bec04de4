/**
 * Structured logging on top of loglevel. Invariant: each record is one JSON object on one line of standard
 * output and begins with the keys `time`, `level`, `module` and `message`.
 */
import loglevel from 'loglevel';
import { standardOutput } from './sink.js';

/** Additional fields of a log record. */
export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[]>>;

/** Writes the log records of one module. */
export interface Logger {
  debug(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  error(message: string, fields?: LogFields): void;
}

/** Log levels, from the most to the least verbose. */
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent';

loglevel.methodFactory = (level, _, moduleName) => (message: unknown, fields?: unknown) => {
  const record = {
    time: new Date().toISOString(),
    level,
    module: String(moduleName),
    message,
    ...(typeof fields === 'object' ? fields : {}),
  };
  standardOutput.addLine(JSON.stringify(record));
};

/**
 * Sets the level of one module. Without a module, sets the default level and that of every existing logger.
 *
 * @example
 * applyLogLevel('debug', 'membership');
 */
export function applyLogLevel(level: LogLevel, moduleName?: string): void {
  if (moduleName === undefined) {
    loglevel.setLevel(level, false);
    Object.values(loglevel.getLoggers()).forEach((logger) => {
      logger.setLevel(level, false);
    });
    return;
  }
  loglevel.getLogger(moduleName).setLevel(level, false);
}

/**
 * Returns the logger of a module.
 *
 * @example
 * createLogger('daemon').info('process is ready', { zone: 'cyberjaya' });
 */
export function createLogger(moduleName: string): Logger {
  const logger = loglevel.getLogger(moduleName);
  return {
    debug: (message, fields) => {
      logger.debug(message, fields);
    },
    info: (message, fields) => {
      logger.info(message, fields);
    },
    warn: (message, fields) => {
      logger.warn(message, fields);
    },
    error: (message, fields) => {
      logger.error(message, fields);
    },
  };
}

/**
 * Structured logs of numbered events.
 *
 * @module
 */

import loglevel from "loglevel";
import process from "node:process";
import { inspect } from "node:util";
import { type EventName, EVENTS, LOG_LEVELS, type LogLevel } from "./events.ts";

/** Fields of one logged event. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Logs one event. */
export type Logger = (event: EventName, fields?: LogFields) => void;

/** Options of {@link createLogger}. */
export interface CreateLoggerOptions {
  /** The program's name, written in each line. */
  readonly program: string;
  readonly level?: LogLevel;
  readonly format?: "text" | "json";
  /** Writes a line; by default to the standard error. */
  readonly write?: (line: string) => void;
  /** Whether a line of this level may be written; by default all may. */
  readonly mayWrite?: (level: LogLevel, event: EventName) => boolean;
  /** Wall clock, in ms. */
  readonly now?: () => number;
}

/**
 * Creates a logger.
 *
 * @param options - The program's name, the minimum level and the format.
 * @returns A function that logs one event with its fields.
 * @throws Nothing.
 * @example
 * const log = createLogger({ program: "crowlever-entry" });
 * log("started", { port: 8080 });
 */
export function createLogger(options: CreateLoggerOptions): Logger {
  const {
    program,
    level = "info",
    format = "text",
    write = writeToStandardError,
    mayWrite = () => true,
    now = Date.now,
  } = options;
  const minLevel = LOG_LEVELS.indexOf(level);
  const sink = loglevel.getLogger(Symbol(program));
  sink.methodFactory = () => (line: string) => write(line);
  sink.setLevel(level, false);
  return (event, fields = {}) => {
    const kind = EVENTS[event];
    // Checked before formatting, which is the expensive part.
    if (LOG_LEVELS.indexOf(kind.level) < minLevel) return;
    if (!mayWrite(kind.level, event)) return;
    const time = new Date(now()).toISOString();
    const printableFields = describeErrors(fields);
    const line = format === "json"
      ? serializeLine({
        time,
        program,
        id: kind.id,
        level: kind.level,
        text: kind.text,
        ...printableFields,
      })
      : formatTextLine({ time, program, event, fields: printableFields });
    sink[kind.level](line);
  };
}

function writeToStandardError(line: string): void {
  process.stderr.write(`${line}\n`);
}

function describeErrors(fields: LogFields): LogFields {
  const pairs = Object.entries(fields).map(([name, value]) =>
    [name, value instanceof Error ? describeError(value) : value] as const
  );
  return Object.fromEntries(pairs);
}

/**
 * Joins the message of an error with those of its causes.
 *
 * @param error - The error.
 * @returns The messages, outermost first.
 * @throws Nothing.
 * @example
 * describeError(new Error("Outer", { cause: new Error("inner") }));
 */
export function describeError(error: unknown): string {
  const messages: string[] = [];
  const described = new Set<unknown>();
  let current = error;
  do {
    described.add(current);
    messages.push(describeOne(current));
    current = current instanceof Error ? current.cause : undefined;
  } while (current !== undefined && !described.has(current));
  return messages.join(": ");
}

function describeOne(error: unknown): string {
  if (!(error instanceof Error)) {
    return typeof error === "string" ? error : inspect(error);
  }
  const message = String(error.message);
  const { code } = error as NodeJS.ErrnoException;
  return code && !message.includes(code) ? `${message} (${code})` : message;
}

// Anything can be thrown, and so be logged: an object with a cycle, for one.
function serializeLine(line: LogFields): string {
  try {
    return JSON.stringify(line);
  } catch {
    const pairs = Object.entries(line).map(([name, field]) => {
      const isSimple = typeof field === "string" || typeof field === "number";
      return [name, isSimple ? field : inspect(field)];
    });
    return JSON.stringify(Object.fromEntries(pairs));
  }
}

function serializeField(value: unknown): string {
  try {
    return JSON.stringify(value);
  } catch {
    return inspect(value);
  }
}

function formatTextLine(
  line: { time: string; program: string; event: EventName; fields: LogFields },
): string {
  const { id, level, text } = EVENTS[line.event];
  const pairs = Object.entries(line.fields).map(([name, value]) =>
    `${name}=${typeof value === "string" ? value : serializeField(value)}`
  );
  const head = `${line.time} ${level} ${line.program} ${id} ${text}`;
  return [head, ...pairs].join(" ");
}

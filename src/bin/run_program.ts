/**
 * Common code of the server programs: arguments, settings, signals, exit codes.
 *
 * @module
 */

import process from "node:process";
import { parseArgs } from "node:util";
import type { Static, TSchema } from "typebox";
import {
  createProcessEnd,
  EXIT_CODES,
  openStartRecord,
  type ProcessEnd,
} from "../lifecycle/index.ts";
import {
  createLogger,
  guardStandardStreams,
  type Logger,
  type LogLevel,
  openLogSink,
  reportDroppedLines,
} from "../logs/index.ts";
import { createMetrics, type Metrics } from "../metrics/index.ts";
import { loadSettings, SettingsError } from "../settings/index.ts";

/** A started program. */
export interface RunningProgram {
  /** Shuts down gracefully: requests in flight finish first. */
  stop(): Promise<void>;
}

/** The context in which a program starts. */
export interface ProgramContext<Settings> {
  readonly settings: Settings;
  readonly flags: Readonly<Record<string, boolean>>;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly onFatal: (error: unknown) => void;
}

interface StartContext<Settings> extends ProgramContext<Settings> {
  readonly processEnd: ProcessEnd;
}

/** Options of {@link runProgram}. */
export interface ProgramOptions<Schema extends TSchema> {
  readonly program: string;
  readonly schema: Schema;
  /** Boolean flags of this program: help texts by name. */
  readonly flags?: Readonly<Record<string, string>>;
  /** Runs before the start; the program isn't started if it returns true. */
  readonly inspect?: (
    context: ProgramContext<Static<Schema>>,
  ) => Promise<boolean>;
  readonly start: (
    context: ProgramContext<Static<Schema>>,
  ) => Promise<RunningProgram>;
}

interface CommonSettings {
  readonly logs: { level: LogLevel; format: "text" | "json" };
  readonly metrics: { host: string; port: number };
  /** Absent without a disk. */
  readonly dataFolder?: string;
}

/**
 * Runs a server program until a signal stops it.
 *
 * @param options - The program's name, settings schema, flags and start function.
 * @returns Nothing; the process exits with an exit code.
 * @throws Nothing.
 * @example
 * await runProgram({ program: "crowlever-entry", schema, start });
 */
export async function runProgram<Schema extends TSchema>(
  options: ProgramOptions<Schema>,
): Promise<void> {
  const { program, schema, flags = {} } = options;
  const values = readArguments(program, flags);
  if (!values) return;
  let settings: Static<Schema>;
  try {
    settings = await loadSettings(String(values.settings), schema);
  } catch (error) {
    process.stderr.write(`${describeSettingsError(error)}\n`);
    process.exitCode = EXIT_CODES.settingsInvalid;
    return;
  }
  if (values.check) {
    process.stdout.write(`${values.settings}: settings are valid\n`);
    return;
  }
  const common = settings as CommonSettings;
  const now = () => performance.now();
  const sink = openLogSink({ descriptor: 2, now });
  const log = createLogger({ program, ...common.logs, write: sink.write });
  guardStandardStreams({ log });
  const metrics = createMetrics(common.metrics);
  reportDroppedLines({ takeCounts: [sink.takeDropped], log, metrics });
  const processEnd = createProcessEnd({
    log,
    flushLog: sink.flush,
    exit: (code) => process.exit(code),
  });
  const context = {
    settings,
    flags: values as Record<string, boolean>,
    log,
    metrics,
    processEnd,
    onFatal: (error: unknown) => processEnd.fail("failed", error),
  };
  if (await options.inspect?.(context)) return;
  await startAndWait(options, context);
}

async function startAndWait<Schema extends TSchema>(
  options: ProgramOptions<Schema>,
  context: StartContext<Static<Schema>>,
): Promise<void> {
  const { log, metrics, onFatal, processEnd } = context;
  process.on("uncaughtException", onFatal);
  process.on("unhandledRejection", onFatal);
  process.on("SIGHUP", () => log("settingsKept"));
  let running: RunningProgram | undefined;
  const stopSignal = waitForStopSignal({
    log,
    onSignal() {
      // A program that is starting has nothing to finish yet.
      if (running === undefined) processEnd.stop();
    },
  });
  try {
    running = await options.start(context);
  } catch (error) {
    return processEnd.fail("startFailed", error);
  }
  const { dataFolder } = context.settings as CommonSettings;
  if (dataFolder !== undefined) {
    const { program } = options;
    const record = openStartRecord({
      folder: dataFolder,
      program,
      log,
      metrics,
    });
    record.writeStart();
    processEnd.useRecord(record);
  }
  await stopSignal;
  await running.stop();
  await metrics[Symbol.asyncDispose]();
  processEnd.stop();
}

function waitForStopSignal(
  options: { log: Logger; onSignal: () => void },
): Promise<void> {
  const { log, onSignal } = options;
  return new Promise((resolve) => {
    let stopping = false;
    const onStopSignal = (): void => {
      if (stopping) return log("signalRepeated");
      stopping = true;
      onSignal();
      resolve();
    };
    process.on("SIGTERM", onStopSignal);
    process.on("SIGINT", onStopSignal);
  });
}

function readArguments(
  program: string,
  flags: Readonly<Record<string, string>>,
): Record<string, string | boolean> | undefined {
  const programFlags = Object.fromEntries(
    Object.keys(flags).map((flag) => [flag, { type: "boolean" as const }]),
  );
  try {
    const { values } = parseArgs({
      options: {
        settings: { type: "string" },
        check: { type: "boolean" },
        help: { type: "boolean" },
        ...programFlags,
      },
    });
    if (values.settings !== undefined && !values.help) {
      return values as Record<string, string | boolean>;
    }
    process.exitCode = values.help ? 0 : EXIT_CODES.settingsInvalid;
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    process.exitCode = EXIT_CODES.settingsInvalid;
  }
  process.stderr.write(formatHelp(program, flags));
  return undefined;
}

function formatHelp(
  program: string,
  flags: Readonly<Record<string, string>>,
): string {
  const lines = Object.entries(flags).map(([flag, help]) =>
    `  --${flag.padEnd(14)} ${help}`
  );
  return [
    `Usage: ${program} --settings FILE [--check]`,
    "",
    "  --settings FILE  Settings file, JSON with comments",
    "  --check          Only validate the settings: exit code 0 or 2",
    ...lines,
    "",
    "Exit codes: 0 stopped, 2 invalid settings, 3 start failed, 4 fatal error",
    "",
  ].join("\n");
}

function describeSettingsError(error: unknown): string {
  return error instanceof SettingsError ? error.message : String(error);
}

/**
 * Collects the log lines of a request from several processes.
 *
 * @module
 */

/** A log line that concerns the request. */
export interface TracedLine {
  /** Wall-clock time of the process that wrote the line, unchanged. */
  readonly time: string;
  /** The text before the line's JSON (such as a host name), else the program. */
  readonly source: string;
  /** Number of the event, such as CL1801. */
  readonly id: string;
  readonly text: string;
  /** The remaining fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Options of {@link traceRequest}. */
export interface TraceRequestOptions {
  readonly requestId: string;
  /** Ms before and after the request in which lines on its upstreams are included. */
  readonly marginMs?: number;
}

/** Ms within which a failed upstream is detected, replaced and reported. */
const DEFAULT_MARGIN_MS = 2_000;

/** Fields that name an upstream. */
const ENGINE_FIELDS = ["engineId", "faulty", "dead"] as const;

/**
 * Finds the lines of a request, and the lines on its upstreams around that time,
 * in chronological order.
 *
 * @param lines - Log lines of any processes; lines that are not JSON are skipped.
 * @param options - The request.
 * @returns The lines; empty if no line belongs to the request.
 * @throws Nothing.
 * @example
 * traceRequest(text.split("\n"), { requestId: "3f2a" });
 */
export function traceRequest(
  lines: readonly string[],
  options: TraceRequestOptions,
): TracedLine[] {
  const { requestId, marginMs = DEFAULT_MARGIN_MS } = options;
  const all = lines.flatMap(parseLine);
  const requestLines = all.filter(({ fields }) =>
    fields.requestId === requestId
  );
  if (requestLines.length === 0) return [];
  const times = requestLines.map(getTimeMs);
  const fromMs = Math.min(...times) - marginMs;
  const untilMs = Math.max(...times) + marginMs;
  const engines = new Set(requestLines.flatMap(listEngines));
  const upstreamLines = all.filter((line) =>
    line.fields.requestId === undefined && getTimeMs(line) >= fromMs &&
    getTimeMs(line) <= untilMs &&
    listEngines(line).some((engineId) => engines.has(engineId))
  );
  return [...requestLines, ...upstreamLines].sort((a, b) =>
    getTimeMs(a) - getTimeMs(b)
  );
}

function parseLine(line: string): TracedLine[] {
  const start = line.indexOf("{");
  if (start < 0) return [];
  try {
    const { time, program, id, level: _level, text, ...fields } = JSON.parse(
      line.slice(start),
    ) as Record<string, unknown>;
    if (typeof time !== "string" || typeof id !== "string") return [];
    const source = line.slice(0, start).trim() || String(program);
    return [{ time, source, id, text: String(text), fields }];
  } catch {
    // A line of another program, or a truncated one.
    return [];
  }
}

function getTimeMs(line: TracedLine): number {
  return Date.parse(line.time);
}

// A path is written as `engineId:layer,engineId:layer`, each with the layer after
// the engine's last one.
function listEngines({ fields }: TracedLine): string[] {
  const named = ENGINE_FIELDS.map((name) => fields[name]);
  const path = typeof fields.path === "string" ? fields.path.split(",") : [];
  const parts = path.map((part) => part.slice(0, part.lastIndexOf(":")));
  return [...named, ...parts].filter((one) => typeof one === "string");
}

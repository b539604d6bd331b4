/**
 * Follows a request through the log lines of several processes.
 *
 * @module
 */

/** A line that has to do with the request. */
export interface TracedLine {
  /** Wall clock of the process that wrote it, as it wrote it. */
  readonly time: string;
  /** What stands before the line's JSON (who wrote it), else the program. */
  readonly source: string;
  /** Number of the event in the catalogue. */
  readonly id: string;
  readonly text: string;
  /** Its other fields. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** What is looked for. */
export interface TraceRequestOptions {
  readonly requestId: string;
  /** Ms around the request in which news of its upstreams counts. */
  readonly aroundMs?: number;
}

/** Ms in which a lost upstream is noticed, replaced, and told of. */
const AROUND_MS = 2_000;

/** Fields that name an upstream. */
const ENGINE_FIELDS = ["engineId", "faulty", "dead"] as const;

/**
 * Finds the lines of a request, and news of the upstreams that they name around
 * that time, in the order of time.
 *
 * @param lines - Log lines of any processes; what is not JSON is passed over.
 * @param options - The request.
 * @returns The lines; none where nothing is known of the request.
 * @throws Nothing.
 * @example
 * traceRequest(text.split("\n"), { requestId: "3f2a" });
 */
export function traceRequest(
  lines: readonly string[],
  options: TraceRequestOptions,
): TracedLine[] {
  const { requestId, aroundMs = AROUND_MS } = options;
  const all = lines.flatMap(parseLine);
  const own = all.filter(({ fields }) => fields.requestId === requestId);
  if (own.length === 0) return [];
  const times = own.map(getTimeMs);
  const fromMs = Math.min(...times) - aroundMs;
  const untilMs = Math.max(...times) + aroundMs;
  const engines = new Set(own.flatMap(listEngines));
  const news = all.filter((line) =>
    line.fields.requestId === undefined && getTimeMs(line) >= fromMs &&
    getTimeMs(line) <= untilMs &&
    listEngines(line).some((engineId) => engines.has(engineId))
  );
  return [...own, ...news].sort((a, b) => getTimeMs(a) - getTimeMs(b));
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
    // A line of another program, or one that was cut: no line of ours.
    return [];
  }
}

function getTimeMs(line: TracedLine): number {
  return Date.parse(line.time);
}

// A path is written as engine and the layer after its part, in turn.
function listEngines({ fields }: TracedLine): string[] {
  const named = ENGINE_FIELDS.map((name) => fields[name]);
  const path = typeof fields.path === "string" ? fields.path.split(",") : [];
  const parts = path.map((part) => part.slice(0, part.lastIndexOf(":")));
  return [...named, ...parts].filter((one) => typeof one === "string");
}

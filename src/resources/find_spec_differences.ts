/**
 * The fields in which two specs differ.
 *
 * @module
 */

/** Differences that are named at most. */
const MAX_DIFFERENCES = 32;

/**
 * Finds the fields in which two specs differ.
 *
 * @param declared - The spec that stands.
 * @param sent - The spec that was sent.
 * @returns Field paths joined by dots; an empty one where there was no spec.
 * @throws Nothing.
 * @example
 * findSpecDifferences({ weight: 1 }, { weight: 2 }); // ["weight"]
 */
export function findSpecDifferences(
  declared: unknown,
  sent: unknown,
): string[] {
  return collect(declared, { sent, path: "" }).slice(0, MAX_DIFFERENCES);
}

function collect(
  declared: unknown,
  options: { sent: unknown; path: string },
): string[] {
  const { sent, path } = options;
  if (!isObject(declared) || !isObject(sent)) {
    return declared === sent ? [] : [path];
  }
  const names = new Set([...Object.keys(declared), ...Object.keys(sent)]);
  return [...names].flatMap((name) =>
    collect(declared[name], {
      sent: sent[name],
      path: path === "" ? name : `${path}.${name}`,
    })
  );
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null;
}

/**
 * The fields in which two specs differ.
 *
 * @module
 */

/** Maximum number of reported differences. */
const MAX_DIFFERENCES = 32;

/**
 * Finds the fields in which two specs differ.
 *
 * @param declared - The current spec.
 * @param sent - The spec that was sent.
 * @returns Field paths joined by dots; an empty path if one of the specs is missing.
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

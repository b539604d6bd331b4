/**
 * Compares the ids of events.
 *
 * @module
 */

/**
 * Checks whether an event comes after another one of the same stream.
 *
 * @param id - Id of the event; one without an id comes after all others, and one whose id
 * is no number, or larger than any that can be counted, after none.
 * @param previousId - Id of the other one; undefined or empty if there is none.
 * @returns Whether it comes after the other one.
 * @throws Nothing.
 * @example
 * isLaterEvent("10", "9");
 */
export function isLaterEvent(
  id: string | undefined,
  previousId: string | undefined,
): boolean {
  if (id === undefined) return true;
  // No event of another run would come after such an id.
  if (!(Number(id) <= Number.MAX_SAFE_INTEGER)) return false;
  if (previousId === undefined || previousId === "") return true;
  return Number(id) > Number(previousId);
}

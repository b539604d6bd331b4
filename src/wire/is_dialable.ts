/**
 * Checks addresses that other processes name.
 *
 * @module
 */

/**
 * Checks whether a client can be created for an address. The gRPC library throws for one
 * that is empty or has line breaks; any other one that leads nowhere fails the calls only.
 *
 * @param address - Host and port, as another process named it.
 * @returns Whether a client can be created for it.
 * @throws Nothing.
 * @example
 * if (!isDialable(request.address)) return reject("bad_address");
 */
export function isDialable(address: string): boolean {
  return /^\S+$/.test(address);
}

/**
 * Key of services and accounts.
 *
 * @module
 */

/**
 * Gets the name of a service or an account, which serves as its key.
 *
 * @param named - The service or account.
 * @returns The name.
 * @throws Nothing.
 * @example
 * getName({ name: "one" }); // "one"
 */
export function getName({ name }: { readonly name: string }): string {
  return name;
}

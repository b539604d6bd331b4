#!/usr/bin/env node
/**
 * `crowlever`: the command line for operators.
 *
 * @module
 */

import { execute } from "@oclif/core";

await execute({ dir: import.meta.url });

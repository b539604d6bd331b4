#!/usr/bin/env node
/**
 * `crowlever`: the operators' command line.
 *
 * @module
 */

import { execute } from "@oclif/core";

await execute({ dir: import.meta.url });

#!/usr/bin/env node
/** Entry point of the `chivewalk` executable. */
import { createCli } from './cli.js';

process.exitCode = await createCli().run(process.argv.slice(2));

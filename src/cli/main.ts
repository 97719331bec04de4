#!/usr/bin/env node
/** `chivewalk`: runs the operators' tool on the command line. */
import { createCli } from './cli.js';

process.exitCode = await createCli().run(process.argv.slice(2));

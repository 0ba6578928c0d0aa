#!/usr/bin/env -S node --no-hard-abort
import "../dist/main.js";

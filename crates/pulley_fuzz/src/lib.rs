//! Fuzz targets for the parsers of external input. They are tests, in `tests/fuzz_targets.rs`.
//!
//! They are in their own crate, because every test executable of a package is linked to the fuzzer.

// The test executable of this library also has to be linked to the fuzzer.
#[cfg(test)]
use bolero as _;

//! Fuzz targets of what comes from outside; they are tests, in `tests/fuzz_targets.rs`.
//!
//! They have a crate of their own, as every test program of a package is linked to the fuzzer.

// The test program of this library has to be linked to the fuzzer as well.
#[cfg(test)]
use bolero as _;

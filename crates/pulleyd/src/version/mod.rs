//! State that belongs to the replicated log and its versions.

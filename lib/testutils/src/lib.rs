//! Test support shared by pomeloramp's test files.

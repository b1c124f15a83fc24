//! Attribute macros for sets of derives shared by pomeloramp's types.

use proc_macro::TokenStream;

const VALUE_DERIVES: &str = "#[derive(Debug, Clone, PartialEq, Eq)]";
const KEY_DERIVES: &str = "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]";
const DOCUMENT_DERIVES: &str =
    "#[derive(Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize)]";

/// Derives `Debug`, `Clone`, `PartialEq` and `Eq`.
#[proc_macro_attribute]
pub fn value(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(VALUE_DERIVES, item)
}

/// Derives the traits of [`macro@value`], and `Copy`, `PartialOrd`, `Ord` and `Hash`, for small
/// types used as map keys.
#[proc_macro_attribute]
pub fn key(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(KEY_DERIVES, item)
}

/// Derives `Debug`, `Clone`, `PartialEq` and the serde traits.
#[proc_macro_attribute]
pub fn document(_attributes: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(DOCUMENT_DERIVES, item)
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = derives.parse().expect("derive set is valid Rust");
    output.extend(item);
    output
}

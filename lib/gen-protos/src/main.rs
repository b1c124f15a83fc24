//! Regenerates the protobuf code in `lib/src/protos`.
//!
//! Run `cargo run -p gen-protos` after changing a `.proto` file.

use std::error::Error;
use std::path::Path;

const PROTO_FILES: [&str; 3] = ["control.proto", "settings.proto", "template.proto"];
const SERDE_DERIVES: &str = "#[derive(serde::Serialize, serde::Deserialize)]";
const SERDE_CONTAINER: &str = "#[serde(deny_unknown_fields, default)]";

fn main() -> Result<(), Box<dyn Error>> {
    let protos_dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../src/protos");
    let descriptors = protox::compile(PROTO_FILES, [&protos_dir])?;
    tonic_prost_build::configure()
        .out_dir(&protos_dir)
        .type_attribute(".pomeloramp.settings", SERDE_DERIVES)
        .type_attribute(".pomeloramp.settings", SERDE_CONTAINER)
        .type_attribute(".pomeloramp.template", SERDE_DERIVES)
        .type_attribute(".pomeloramp.template", SERDE_CONTAINER)
        .compile_fds(descriptors)?;
    Ok(())
}

//! Signed binding of calls that may run at most once to the agents that may run them.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::Mac;
use prost::Message;
use sha2::Sha256;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::ensure;
use xxhash_rust::xxh3::Xxh3;

use crate::placement_error::DecodeSnafu;
use crate::placement_error::EncodingSnafu;
use crate::placement_error::NoHomeSnafu;
use crate::placement_error::OtherServiceSnafu;
use crate::placement_error::PlacementError;
use crate::placement_error::SignatureSnafu;
use crate::placement_error::TooLongSnafu;
use crate::protos::control;

/// Binding of calls of a service that may run at most once to the agents that may run them (their
/// homes).
///
/// The caller keeps the placement and sends it with each call. Every entry daemon therefore finds
/// the same home for a call, whatever its own view of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    message: control::Placement,
}

/// Maximum length of an encoded placement.
const MAX_PLACEMENT_BYTES: usize = 6 * 1024;
/// Domain separation from other signatures that are made with the same key.
const SIGNATURE_CONTEXT: &[u8] = b"pomeloramp placement 1";

impl Placement {
    /// Creates a placement of the calls of a service on the given agents.
    #[must_use]
    pub fn new(service: &str, config_revision: u64, homes: Vec<control::PlacementHome>) -> Self {
        let message = control::Placement {
            service: service.to_owned(),
            config_revision,
            homes,
            signature: Vec::new(),
        };
        Self { message }
    }

    /// Returns the placement, signed with `peer_key`, as base64url text without padding.
    #[must_use]
    pub fn encode(&self, peer_key: &[u8]) -> String {
        let signature = keyed_digest(&self.message, peer_key)
            .finalize()
            .into_bytes()
            .to_vec();
        let signed = control::Placement {
            signature,
            ..self.message.clone()
        };
        URL_SAFE_NO_PAD.encode(signed.encode_to_vec())
    }

    /// Decodes and verifies a placement that a caller sent with a call of `service`.
    ///
    /// # Errors
    ///
    /// Fails if the text is too long, is not a placement, was not signed with `peer_key`, is for
    /// another service, or contains no agent.
    pub fn decode(text: &str, peer_key: &[u8], service: &str) -> Result<Self, PlacementError> {
        ensure!(
            text.len() <= MAX_PLACEMENT_BYTES,
            TooLongSnafu {
                len_bytes: text.len(),
                max_bytes: MAX_PLACEMENT_BYTES,
            }
        );
        let bytes = URL_SAFE_NO_PAD.decode(text).context(EncodingSnafu)?;
        let mut message = control::Placement::decode(bytes.as_slice()).context(DecodeSnafu)?;
        let signature = std::mem::take(&mut message.signature);
        let verified = keyed_digest(&message, peer_key).verify_slice(&signature);
        verified.ok().context(SignatureSnafu)?;
        ensure!(
            message.service == service,
            OtherServiceSnafu {
                placed: message.service,
                called: service,
            }
        );
        ensure!(!message.homes.is_empty(), NoHomeSnafu { service });
        Ok(Self { message })
    }

    /// Returns the only agent that may run a call, a pure function of the call and the placement.
    ///
    /// Returns `None` only for a placement without homes, which [`Placement::decode`] rejects.
    #[must_use]
    pub fn home(&self, organisation: &str, key: &str) -> Option<&control::PlacementHome> {
        self.message
            .homes
            .iter()
            .max_by_key(|home| (rendezvous_weight(organisation, key, home), home.incarnation))
    }

    /// Returns the agents that calls may be assigned to.
    #[must_use]
    pub fn homes(&self) -> &[control::PlacementHome] {
        &self.message.homes
    }

    /// Returns the configuration revision under which the placement was created.
    #[must_use]
    pub fn config_revision(&self) -> u64 {
        self.message.config_revision
    }
}

fn keyed_digest(unsigned: &control::Placement, peer_key: &[u8]) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(peer_key).expect("HMAC accepts keys of any length");
    mac.update(SIGNATURE_CONTEXT);
    mac.update(&unsigned.encode_to_vec());
    mac
}

fn rendezvous_weight(organisation: &str, key: &str, home: &control::PlacementHome) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(&(organisation.len() as u64).to_le_bytes());
    hasher.update(organisation.as_bytes());
    hasher.update(key.as_bytes());
    hasher.update(&home.incarnation.to_le_bytes());
    hasher.digest()
}

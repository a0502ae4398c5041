//! Settings of a process, the questionnaire of a team, and the configuration generated from it.
//!
//! The crate does no I/O: text and bytes in, values, text and bytes out. Problems in a file are
//! collected as [`Findings`] and reported together.

mod codec;
mod contradictions;
mod diff;
mod findings;
mod generate;
mod http_url;
mod name;
mod questionnaire;
mod reader;
mod render;
mod secret;
mod settings;
mod stored;

pub use codec::{
    Checksum, ChecksumError, DecodeError, Decoded, EncodeError, Encoded, MAX_CONFIGURATION_BYTES,
    MAX_PART_BYTES, MAX_PARTS, decode, encode,
};
pub use diff::{Change, Diff, diff};
pub use findings::{Finding, Findings, Severity};
pub use generate::{Derivation, Generated, RETRY_BUDGET, generate};
pub use http_url::{HttpUrl, HttpUrlError};
pub use questionnaire::{
    AccountAnswers, Floor, HurtsMore, Questionnaire, RouteAnswers, ServiceAnswers,
};
pub use reader::Located;
pub use secret::{Secret, SecretError, SecretSource};
pub use settings::{
    InstanceSettings, LimitSettings, ListenSettings, LogFormat, LogLevel, LogSettings,
    PeerSettings, Settings, StoreSettings,
};
pub use stored::parse_configuration;

//! Settings of an instance, the questionnaire of a team, and the configuration generated from it.
//!
//! The crate does no I/O: it parses and writes text and bytes in memory. All problems in a file are
//! collected as [`Findings`] and reported together.

mod codec;
mod configuration_file;
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

pub use codec::{
    Checksum, ChecksumError, DecodeError, DecodedConfiguration, EncodeError, EncodedConfiguration,
    MAX_CONFIGURATION_BYTES, MAX_PART_BYTES, MAX_PARTS, decode, encode,
};
pub use configuration_file::parse_configuration;
pub use diff::{Change, Diff, diff};
pub use findings::{Finding, Findings, Severity};
pub use generate::{Derivation, Generated, RETRY_BUDGET, generate};
pub use http_url::{HttpUrl, HttpUrlError};
pub use questionnaire::{
    AccountAnswers, CostlierError, Floor, Questionnaire, RouteAnswers, ServiceAnswers,
};
pub use reader::Located;
pub use secret::{Secret, SecretError, SecretSource};
pub use settings::{
    InstanceSettings, LimitSettings, ListenSettings, LogFormat, LogLevel, LogSettings,
    PeerSettings, Settings, StoreSettings,
};

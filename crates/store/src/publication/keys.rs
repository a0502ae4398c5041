//! Store keys of the configuration.

use cactustrack_types::Version;

/// Store keys under the prefix of a fleet.
///
/// * `head`: the version in force.
/// * `part/<version>-<nonce>/<n>`: parts of an encoded configuration.
/// * `history/<version>`: one entry for each accepted change. Versions have 20 digits, so that
///   keys sort by version.
/// * `unused/<version>-<nonce>`: marks parts that are neither in force nor kept. It is written
///   before the parts and removed by the transaction that brings them into force, so that unused
///   parts can be found by their marker and removed without reading them.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    prefix: String,
}

impl Keys {
    pub(crate) fn new(prefix: &str) -> Self {
        Self { prefix: format!("{}/", prefix.trim_end_matches('/')) }
    }

    pub(crate) fn head(&self) -> String {
        format!("{}head", self.prefix)
    }

    pub(crate) fn history(&self, version: Version) -> String {
        format!("{}history/{version:020}", self.prefix)
    }

    pub(crate) fn part(&self, version: Version, nonce: &str, index: u32) -> String {
        format!("{}{index:04}", self.parts_range(&format!("{version}-{nonce}")).0)
    }

    /// Returns the first key of the parts of a publication, and the end of their range.
    pub(crate) fn parts_range(&self, publication: &str) -> (String, String) {
        // `0` is the character after `/`, so it ends the range.
        (
            format!("{}part/{publication}/", self.prefix),
            format!("{}part/{publication}0", self.prefix),
        )
    }

    pub(crate) fn unused(&self, version: Version, nonce: &str) -> String {
        format!("{}unused/{version}-{nonce}", self.prefix)
    }

    /// Returns the first key of all markers of unused parts, and the end of their range.
    pub(crate) fn unused_range(&self) -> (String, String) {
        (format!("{}unused/", self.prefix), format!("{}unused0", self.prefix))
    }

    /// Returns the publication, as `<version>-<nonce>`, to which a marker of unused parts refers.
    pub(crate) fn publication_of<'a>(&self, unused: &'a str) -> Option<&'a str> {
        unused.strip_prefix(&self.unused_range().0)
    }
}

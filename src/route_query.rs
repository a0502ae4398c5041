//! Query of the admin endpoint that explains the route of a request.

use eyre::{OptionExt, Result, WrapErr, bail, ensure};
use http::Method;
use percent_encoding::{NON_ALPHANUMERIC, percent_decode_str, utf8_percent_encode};

/// A request whose route is to be explained.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouteQuery {
    pub(crate) method: Method,
    /// Host, with the port if there is one.
    pub(crate) host: String,
    pub(crate) path: String,
    /// Name of the client account on whose behalf the request would be sent.
    pub(crate) account: Option<String>,
}

impl RouteQuery {
    /// Reads the query of a URL.
    ///
    /// # Errors
    ///
    /// Fails if a parameter is missing, unknown, repeated or malformed.
    pub(crate) fn parse(query: &str) -> Result<Self> {
        let (mut method, mut host, mut path, mut account) = (None, None, None, None);
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let known = match name {
                "method" => &mut method,
                "host" => &mut host,
                "path" => &mut path,
                "account" => &mut account,
                _ => bail!("unknown parameter {name:?}"),
            };
            let value = percent_decode_str(value).decode_utf8();
            let value = value.wrap_err_with(|| format!("the parameter {name} is not UTF-8"))?;
            ensure!(
                known.replace(value.into_owned()).is_none(),
                "the parameter {name} is repeated"
            );
        }
        let method = method.filter(|method| !method.is_empty());
        let method = method.map_or(Ok(Method::GET), |method| method.parse());
        Ok(Self {
            method: method.wrap_err("the method is invalid")?,
            host: host.ok_or_eyre("the parameter host is missing")?,
            path: path.ok_or_eyre("the parameter path is missing")?,
            account: account.filter(|account| !account.is_empty()),
        })
    }

    /// Returns the query of a URL that [`Self::parse`] reads.
    pub(crate) fn to_query(&self) -> String {
        let Self { method, host, path, account } = self;
        let encode = |text| utf8_percent_encode(text, NON_ALPHANUMERIC);
        let method = encode(method.as_str());
        let query = format!("method={method}&host={}&path={}", encode(host), encode(path));
        match account {
            Some(account) => format!("{query}&account={}", encode(account)),
            None => query,
        }
    }
}

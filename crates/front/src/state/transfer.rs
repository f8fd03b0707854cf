//! Bytes between this entry and others, by whether they cross failure domains.

use hyper::header::HeaderMap;

/// Bytes of one header line besides its name and value.
const HEADER_LINE_BYTES: usize = 4;

/// Where the other end of a transfer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransferScope {
    /// In the failure domain of this entry.
    Domain,
    /// In another failure domain, or in one that is not known.
    Other,
}

impl TransferScope {
    /// Returns the scope of a transfer between two failure domains.
    pub(crate) fn between(own_domain: &str, other_domain: &str) -> Self {
        if own_domain == other_domain {
            Self::Domain
        } else {
            Self::Other
        }
    }

    /// Value of the scope in metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Domain => "domain",
            Self::Other => "other",
        }
    }
}

/// What is transferred, other than messages between entries, which are counted by
/// their reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TransferKind {
    /// Requests to upstreams.
    UpstreamRequest,
    /// Responses of upstreams.
    UpstreamResponse,
    /// Objects that are written to the platform or read from it.
    Platform,
}

impl TransferKind {
    /// Value of the kind in metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::UpstreamRequest => "upstream_request",
            Self::UpstreamResponse => "upstream_response",
            Self::Platform => "platform",
        }
    }
}

/// Number of copies of a message that were sent, by scope.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct SentMessages {
    pub(crate) in_domain: u64,
    pub(crate) elsewhere: u64,
}

impl SentMessages {
    /// Counts one copy.
    pub(crate) const fn add(&mut self, scope: TransferScope) {
        match scope {
            TransferScope::Domain => self.in_domain += 1,
            TransferScope::Other => self.elsewhere += 1,
        }
    }

    /// Number of all copies.
    pub(crate) const fn total(&self) -> u64 {
        self.in_domain + self.elsewhere
    }
}

/// Returns the bytes of headers in an HTTP message.
pub(crate) fn header_bytes(headers: &HeaderMap) -> usize {
    let lines = headers.iter();
    let bytes = lines
        .map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES);
    bytes.sum()
}

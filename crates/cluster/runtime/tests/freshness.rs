//! Tokens that bound the time for which a request can wait between two processes.
use quickcheck::quickcheck;
use spanlead_cluster_runtime::frame::ClientResponse;
use spanlead_cluster_runtime::freshness::{FreshnessToken, TOKEN_VALIDITY_MS, TokenIssuer};

const NOW_MS: u64 = 1_000_000;

#[test]
fn token_is_fresh_for_its_issuer_until_it_expires() {
    let issuer = TokenIssuer::new(1);
    let token = issuer.issue(NOW_MS);
    assert!(issuer.is_fresh(token, NOW_MS));
    assert!(issuer.is_fresh(token, NOW_MS + TOKEN_VALIDITY_MS));
    assert!(!issuer.is_fresh(token, NOW_MS + TOKEN_VALIDITY_MS + 1));
}

/// The clock of a process that has restarted begins anew, so a token of the process before may seem
/// recent, or from the future.
#[test]
fn token_of_another_process_is_not_fresh() {
    let token = TokenIssuer::new(1).issue(NOW_MS);
    assert!(!TokenIssuer::new(2).is_fresh(token, NOW_MS));
    assert!(!TokenIssuer::new(1).is_fresh(token, NOW_MS - 1));
}

#[test]
fn response_to_a_request_carries_no_token() {
    let response = ClientResponse { request_id: 1, status: 200, body: "0".repeat(32) };
    assert_eq!(response.token(), None);
    for body in ["", "not a token", &"0".repeat(31), &"0".repeat(33), &"+".repeat(32)] {
        let response = ClientResponse { request_id: 0, status: 0, body: body.to_owned() };
        assert_eq!(response.token(), None, "{body}");
    }
}

quickcheck! {
    fn token_is_read_as_it_was_written(issuer: u64, issued_at_ms: u64) -> bool {
        let token = FreshnessToken { issuer, issued_at_ms };
        ClientResponse::with_token(token).token() == Some(token)
    }
}

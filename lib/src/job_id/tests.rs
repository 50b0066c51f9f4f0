//! Tests of `job_id`.

use assert_matches::assert_matches;

use super::*;

#[test]
fn test_job_id_mint_time() {
    let id = JobId::mint(1_780_000_000_123, &[7; 10]);
    assert_eq!(id.minted_ms(), 1_780_000_000_123);
    assert_eq!(id.to_string().parse(), Ok(id));
    assert_eq!(JobId::from_wire(Some(id.wire())), Some(id));
}

#[test]
fn test_job_id_invalid() {
    let v4 = "6fa459ea-ee8a-4ca4-894e-db77e160355e";
    assert_matches!(v4.parse::<JobId>(), Err(JobIdError::Version(_)));
    assert_matches!("x".parse::<JobId>(), Err(JobIdError::Malformed(_)));
}

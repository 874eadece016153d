//! A session token issued by an earlier build remains valid. The build of commit 0eda158, not the code under test,
//! issued `tests/data/token` with the keys in `tests/data/keys`.

use routing::time::Timestamp;
use sessions::positions::LogPosition;
use sessions::token::{TokenError, TokenKeys};

const KEYS: &str = include_str!("data/keys");
const TOKEN: &str = include_str!("data/token");
const AUDIENCE: &str = "5:alice/kv";
/// A time between the issue and the expiry of the token, in Unix seconds.
const NOW_S: i64 = 1_790_000_100;

#[test]
fn token_of_an_earlier_build_is_valid_and_encoded_to_the_same_bytes() {
    let keys = TokenKeys::parse(KEYS).expect("valid keys");
    let token = keys.verify(TOKEN, AUDIENCE, NOW_S).expect("a valid token");
    assert_eq!(&token.session, b"sixteen bytes ok");
    assert_eq!((token.issued, token.expires), (1_790_000_000, 1_790_003_600));
    let ms = |ms: i64| Timestamp(ms * 1_000_000);
    assert_eq!(token.positions.get(3), Some(LogPosition { epoch: 2, position: ms(1_790_000_000_123) }));
    assert_eq!(token.positions.get(70_000), Some(LogPosition { epoch: 0, position: ms(1_790_000_000_456) }));
    assert_eq!(
        token.positions.lower_bound(),
        Some(LogPosition { epoch: 0, position: ms(1_789_999_999_000) })
    );
    assert_eq!(keys.issue(&token, AUDIENCE).as_deref(), Some(TOKEN), "the token is encoded to other bytes");
    assert_eq!(keys.verify(TOKEN, "3:bob/kv", NOW_S), Err(TokenError::Unauthenticated));
    assert_eq!(keys.verify(TOKEN, AUDIENCE, 1_790_003_600), Err(TokenError::Expired));
}

//! Names are checked when they are created.

use daisy_model::{Name, NameError};

#[test]
fn names_are_dns_labels() {
    assert!(Name::new("price-list-7").is_ok());
    assert_eq!(Name::new(""), Err(NameError::Length));
    assert_eq!(Name::new(&"a".repeat(64)), Err(NameError::Length));
    assert_eq!(Name::new("7up"), Err(NameError::Character));
    assert_eq!(Name::new("Preço"), Err(NameError::Character));
}

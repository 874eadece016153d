//! Parser of a line that defines a client class: `admit NAME`, followed by pairs of a property and its value.

use crate::error::{ConfigErrorKind, ValueError};
use crate::values::{integer, unparsable};
use admission::{ClientClass, ConnectionRate};
use ipnet::IpNet;
use std::net::IpAddr;
use std::sync::Arc;

/// Upper bound of numbers of connections and requests, of rates per second, and of bursts.
const MAX_COUNT: usize = 100_000;
const MAX_WEIGHT: u32 = 1_000;
/// Maximum length of a user name; the same limit as in PostgreSQL.
const MAX_USER_BYTES: usize = 63;
/// Maximum length of a class name.
const MAX_NAME_BYTES: usize = 32;

/// A property of a class, with the function that parses and sets its value.
struct Property {
    name: &'static str,
    set: fn(&mut ClientClass, &str) -> Result<(), ValueError>,
}

const fn property(name: &'static str, set: fn(&mut ClientClass, &str) -> Result<(), ValueError>) -> Property {
    Property { name, set }
}

const PROPERTIES: &[Property] = &[
    property("from", |class, value| {
        class.networks = value.split(',').map(network).collect::<Result<_, _>>()?;
        Ok(())
    }),
    property("user", |class, value| {
        class.users = value.split(',').map(user_name).collect::<Result<_, _>>()?;
        Ok(())
    }),
    property("keep", |class, value| {
        class.reserved = integer(value, 0..=MAX_COUNT)?;
        Ok(())
    }),
    property("most", |class, value| {
        class.max_connections = Some(integer(value, 1..=MAX_COUNT)?);
        Ok(())
    }),
    property("each", |class, value| {
        class.max_per_address = Some(integer(value, 1..=MAX_COUNT)?);
        Ok(())
    }),
    property("rate", |class, value| {
        let per_second = integer(value, 1..=MAX_COUNT)? as u32;
        let burst = class.rate.map_or(per_second, |rate| rate.burst);
        class.rate = Some(ConnectionRate { per_second, burst });
        Ok(())
    }),
    property("burst", |class, value| {
        let burst = integer(value, 1..=MAX_COUNT)? as u32;
        class.rate.as_mut().ok_or(ValueError::BurstWithoutRate)?.burst = burst;
        Ok(())
    }),
    property("weight", |class, value| {
        class.weight = integer(value, 1..=MAX_WEIGHT)?;
        Ok(())
    }),
    property("rpcs", |class, value| {
        class.max_requests = Some(integer(value, 1..=MAX_COUNT)?);
        Ok(())
    }),
];

/// Parses a network, or a single address as the network that contains only this address.
fn network(value: &str) -> Result<IpNet, ValueError> {
    let network = value.parse().or_else(|_| value.parse::<IpAddr>().map(IpNet::from));
    network.map_err(|_| {
        let example = "expected for example 10.30.4.7, 10.20.0.0/16 or 2001:db8::/32";
        unparsable(value, "an IP address or network", example)
    })
}

fn user_name(value: &str) -> Result<Arc<str>, ValueError> {
    let is_valid = (1..=MAX_USER_BYTES).contains(&value.len()) && !value.contains(char::is_control);
    is_valid.then(|| value.into()).ok_or_else(|| ValueError::InvalidUserName(value.to_string()))
}

fn is_class_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_allowed)
}

/// Parses the values that follow the keyword `admit`: the name of the class and its properties.
pub fn parse_class(values: &[String]) -> Result<ClientClass, ConfigErrorKind> {
    let (name, pairs) = values.split_first().ok_or(ConfigErrorKind::MissingClassName)?;
    if !is_class_name(name) {
        return Err(ConfigErrorKind::InvalidClassName(name.clone()));
    }
    let mut class = ClientClass::named(name);
    let mut used_properties = Vec::new();
    for pair in pairs.chunks(2) {
        let [name, value] = pair else {
            return Err(ConfigErrorKind::MissingPropertyValue(pair[0].clone()));
        };
        let property = find_property(name)?;
        if used_properties.contains(&property.name) {
            return Err(ConfigErrorKind::RepeatedProperty(property.name));
        }
        used_properties.push(property.name);
        let result = (property.set)(&mut class, value);
        result.map_err(|error| ConfigErrorKind::InvalidProperty { property: property.name, error })?;
    }
    Ok(class)
}

fn find_property(name: &str) -> Result<&'static Property, ConfigErrorKind> {
    PROPERTIES.iter().find(|property| property.name == name).ok_or_else(|| {
        let known: Vec<&str> = PROPERTIES.iter().map(|property| property.name).collect();
        ConfigErrorKind::UnknownProperty { name: name.to_string(), known: known.join(", ") }
    })
}

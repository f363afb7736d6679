#include <doctest/doctest.h>

#include <rhubarbwharf/core/digest.hpp>

TEST_CASE("SHA-256 has the published value for `abc` and goes through hexadecimal") {
    const auto value = rhubarbwharf::sha256(std::string_view{"abc"});
    CHECK(rhubarbwharf::to_hex(value) == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(rhubarbwharf::digest_from_hex(rhubarbwharf::to_hex(value)) == value);
    CHECK(rhubarbwharf::digest_from_bytes(rhubarbwharf::as_bytes(value)) == value);
}

TEST_CASE("text that is no digest is refused") {
    CHECK_FALSE(rhubarbwharf::digest_from_hex("ab"));
    CHECK_FALSE(rhubarbwharf::digest_from_hex(std::string(64, 'g')));
    CHECK_FALSE(rhubarbwharf::digest_from_bytes("short"));
}

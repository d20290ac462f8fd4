#pragma once

#include "LibCore/Error.h"
#include "LibTraffic/ClaimMap.h"
#include "LibTraffic/ClaimMessages.h"
#include "LibTraffic/QuarantineMessages.h"

#include <string>
#include <string_view>

/// Binary encoding of the claim map and of the messages about claims and
/// suspects.
namespace cranberryfold::traffic {

std::string
EncodeClaimMap(claim_map const& aMap);

/// Fails with kMalformed.
core::result<claim_map>
DecodeClaimMap(std::string_view aBytes);

std::string
EncodeClaimMessage(claim_message const& aMessage);

/// Fails with kMalformed.
core::result<claim_message>
DecodeClaimMessage(std::string_view aBytes);

std::string
EncodeQuarantineMessage(quarantine_message const& aMessage);

/// Fails with kMalformed.
core::result<quarantine_message>
DecodeQuarantineMessage(std::string_view aBytes);

}

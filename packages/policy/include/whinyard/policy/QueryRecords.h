// The record in which the store keeps a verdict on a request, as JSON.
//
// Instances that start, or that were cut off when a verdict was told, learn of it there.
#pragma once

#include "whinyard/base/QueryNews.h"

#include <optional>
#include <string>
#include <string_view>

namespace whinyard::policy {

// `until` of the record is a time of day: how much longer a verdict holds is counted from the reader's.
std::string writeQueryVerdict(const QueryVerdict& verdict, std::chrono::system_clock::time_point now);

// `request` is named by the record's key. Returns nothing for text that writeQueryVerdict() would not write.
std::optional<QueryVerdict> readQueryVerdict(const RequestDigest& request, std::string_view text, std::chrono::system_clock::time_point now);

}

// The adapter to a platform whose services are spoken to over HTTP with JSON. Another platform costs
// one file like this one.
//
// Protocol, all under one address:
//   GET  /kv/read?key=K                      200 {"value","revision"} or 404
//   POST /kv/swap {"key","value","expected","lease"}  200 {"revision"} or 409 {"revision"}
//   POST /kv/erase {"key","expected"}        200 or 409
//   GET  /kv/list?prefix=P&after=K&limit=N   200 {"records": [{"key","value","revision"}]}
//   GET  /kv/watch?key=K&known=R&timeoutMs=T 200 {"value","revision"} or 204
//   POST /kv/lease {"timeToLiveMs"}          200 {"lease"}
//   POST /kv/keep {"lease"}                  200 or 404
//   GET  /instances                          200 {"instances": [{"name","kind","address","zone","versions","service","leaving"}]}
//   POST /rate {"request","version","application","question","answer"}  200 {"score"}
// An answer 503 says that the call had no effect.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/backing/JsonCalls.h"
#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/backing/RatingService.h"

#include <memory>

namespace whinyard::backing {

using HttpPlatformOptions = JsonCallOptions;

// Each object uses `client`, which must outlive it, on the client's duty.
std::unique_ptr<KeyValueStore> makeHttpKeyValueStore(net::HttpClient& client, const HttpPlatformOptions& options);
std::unique_ptr<InstanceList> makeHttpInstanceList(net::HttpClient& client, const HttpPlatformOptions& options);
std::unique_ptr<RatingService> makeHttpRatingService(net::HttpClient& client, const HttpPlatformOptions& options);

}

#pragma once

/// The HTTP status codes in use.
namespace moorfold::http_status {

constexpr unsigned kOk = 200;
constexpr unsigned kFirstRedirection = 300;
constexpr unsigned kNotModified = 304;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kUnauthorized = 401;
constexpr unsigned kNotFound = 404;
constexpr unsigned kMethodNotAllowed = 405;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kConflict = 409;
constexpr unsigned kTooLarge = 413;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kHeadersTooLarge = 431;
constexpr unsigned kFirstServerError = 500;
constexpr unsigned kInternalError = 500;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

}  // namespace moorfold::http_status

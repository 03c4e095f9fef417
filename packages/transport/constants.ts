/** Capacity of a connection's send buffer; calls fail with `overloaded` while it is exceeded. */
export const maximumBufferedBytes = 4_000_000;
/** Interval of the liveness checks of a connection. */
export const livenessCheckIntervalMilliseconds = 500;
/** Timeout of the WebSocket handshake. */
export const peerConnectTimeoutMilliseconds = 2000;
/** Size limit of an HTTP request body. */
export const maximumBodyBytes = 1_048_576;
/** Size limit of all headers of an HTTP request. */
export const maximumHeaderBytes = 16_384;
/** A client that has not sent all headers within this time is disconnected. */
export const headersTimeoutMilliseconds = 5000;
/** A client that has not sent its whole request within this time is disconnected. */
export const requestTimeoutMilliseconds = 10_000;
export const keepAliveTimeoutMilliseconds = 30_000;
export const maximumHttpConnections = 2000;
export const maximumPeerConnections = 2000;
/** Longest transfer of a response, from its beginning; the largest stored value, 1.4 MB as sent, takes it at 70 KB a second. */
export const maximumTransferMilliseconds = 20_000;

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
/** Interval at which these timeouts are checked; Node's default of 30 s leaves slow clients connected for as long. */
export const timeoutCheckIntervalMilliseconds = 1000;
/** Longest transfer of a response, from its beginning; the largest stored value, 1.4 MB as sent, takes it at 70 KB a second. */
export const maximumTransferMilliseconds = 20_000;
/** Fragments of a message between processes; they send whole messages. */
export const maximumFragments = 16;
/** Chunks of a message that has not arrived whole; the largest one arrives in some 1,400 segments. */
export const maximumPartialChunks = 8192;
/** Interval at which the unread messages of each peer are counted. */
export const peerCheckIntervalMilliseconds = 500;

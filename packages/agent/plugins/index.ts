// Tasks start in this order; a task may use services of tasks before it.
import './worker-client.js';
import './execution.js';
import './run-request.js';
import './announce.js';

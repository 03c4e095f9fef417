// Tasks start in this order; a task may use services of tasks before it.
import './worker-client.js';
import './drain.js';
import './slice.js';
import './holdings.js';
import './execution.js';
import './entries.js';
import './run-request.js';
import './find-request.js';
import './withdraw-request.js';
import './operations.js';

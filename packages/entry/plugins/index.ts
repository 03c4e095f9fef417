// Tasks start in this order; a task may use services of tasks before it.
import './store.js';
import './membership.js';
import './connections.js';
import './watch-configuration.js';
import './layout-task.js';
import './layout-check.js';
import './entry-lease.js';
import './register-entry.js';
import './entries.js';
import './announce-agent.js';
import './report-agent.js';
import './run-request.js';
import './exchange.js';
import './show-configuration.js';
import './show-fleet.js';
import './show-openapi.js';
